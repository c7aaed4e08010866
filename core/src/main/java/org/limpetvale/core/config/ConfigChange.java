package org.limpetvale.core.config;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A change to the configuration. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ConfigChange.PutTemplate.class, name = "put-template"),
  @JsonSubTypes.Type(value = ConfigChange.PutParameters.class, name = "put-parameters"),
  @JsonSubTypes.Type(value = ConfigChange.GrantKey.class, name = "grant-key"),
  @JsonSubTypes.Type(value = ConfigChange.WithdrawKey.class, name = "withdraw-key")
})
public sealed interface ConfigChange {

  /** Adds or replaces a template. */
  record PutTemplate(Template template) implements ConfigChange {}

  /** Adds or replaces a workspace's parameters. */
  record PutParameters(WorkspaceParameters parameters) implements ConfigChange {}

  /** Grants an API key. */
  record GrantKey(KeyGrant grant) implements ConfigChange {}

  /** Revokes an API key; has no effect if the key does not exist. */
  record WithdrawKey(String keyId) implements ConfigChange {}
}
