package org.limpetvale.daemon;

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
    bootstrap.setConfigurationFactoryFactory(JsonConfigurationFactory::new);
  }
}
