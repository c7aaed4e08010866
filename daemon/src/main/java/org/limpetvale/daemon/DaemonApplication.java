package org.limpetvale.daemon;

import com.fasterxml.jackson.databind.DeserializationFeature;
import io.dropwizard.configuration.JsonConfigurationFactory;
import io.dropwizard.core.Application;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.setup.Bootstrap;

/**
 * A daemon whose settings are JSON.
 *
 * @param <T> the settings
 */
public abstract class DaemonApplication<T extends Configuration> extends Application<T> {
  @Override
  public void initialize(Bootstrap<T> bootstrap) {
    bootstrap.setConfigurationFactoryFactory(
        (type, validator, mapper, prefix) ->
            new JsonConfigurationFactory<>(
                type,
                validator,
                mapper.copy().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES),
                prefix));
  }
}
