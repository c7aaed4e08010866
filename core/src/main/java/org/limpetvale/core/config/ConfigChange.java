package org.limpetvale.core.config;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One change of the configuration. */
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

  /** Grants a key. */
  record GrantKey(KeyGrant grant) implements ConfigChange {}

  /** Withdraws a key; withdrawing an absent key changes nothing. */
  record WithdrawKey(String keyId) implements ConfigChange {}
}
