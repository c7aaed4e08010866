package org.limpetvale.daemon;

import com.fasterxml.jackson.databind.DeserializationFeature;
import io.dropwizard.configuration.JsonConfigurationFactory;
import io.dropwizard.core.Application;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.setup.Bootstrap;

/**
 * Base class of the daemons. The settings file is strict JSON: unknown fields are rejected.
 *
 * @param <T> the type of the settings
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
