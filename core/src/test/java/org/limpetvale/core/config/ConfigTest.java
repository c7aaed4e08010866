package org.limpetvale.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ConfigTest {
  private static final RequestClass REQUEST_CLASS = new RequestClass(0, 1200, 45, 4000, 0.1, 512);
  private static final Template TEMPLATE =
      new Template(
          "field",
          Map.of("question", REQUEST_CLASS),
          List.of("m"),
          Map.of(
              "stock",
              List.of(
                  new ServiceRoute("GET", "/levels", true, true),
                  new ServiceRoute("POST", "/orders", false, false))));

  private static WorkspaceParameters parameters(String name, List<OpenRoute> open) {
    return new WorkspaceParameters(
        name,
        "field",
        List.of("question"),
        "question",
        Map.of(),
        List.of("m"),
        List.of("stock"),
        open,
        1,
        1000);
  }

  private static ConfigState stateAfter(ConfigChange... changes) {
    ConfigState state = ConfigState.empty();
    for (ConfigChange change : changes) {
      state = state.applyAll(List.of(new ChangeRecord(state.version() + 1, "id", "op", change)));
    }
    return state;
  }

  private static List<String> faults(ConfigState state, ConfigChange change) {
    return ConfigValidator.validate(state, change).stream().map(Fault::field).toList();
  }

  @Nested
  class ApplyAllTest {
    @Test
    void oldVersionsAndVersionsAfterAGapAreIgnored() {
      ConfigState state = stateAfter(new ConfigChange.PutTemplate(TEMPLATE));
      ChangeRecord old = new ChangeRecord(1, "x", "op", new ConfigChange.WithdrawKey("k"));
      ChangeRecord afterGap = new ChangeRecord(3, "y", "op", new ConfigChange.WithdrawKey("k"));
      assertThat(state.applyAll(List.of(old, afterGap)).version()).isEqualTo(1);
    }

    @Test
    void aWithdrawnKeyHasNoGrant() {
      KeyGrant grant = new KeyGrant("k1", "w", "abc");
      ConfigState granted = stateAfter(new ConfigChange.GrantKey(grant));
      assertThat(granted.grant("abc")).isPresent();
      ChangeRecord withdrawal = new ChangeRecord(2, "id", "op", new ConfigChange.WithdrawKey("k1"));
      assertThat(granted.applyAll(List.of(withdrawal)).grant("abc")).isEmpty();
    }
  }

  @Nested
  class ValidatorTest {
    @Test
    void allFaultsOfATemplateAreReportedAtOnce() {
      Template invalid =
          new Template(
              "Bad Name",
              Map.of("c", new RequestClass(9, 0, 45, 4000, 0.9, 0)),
              List.of(),
              Map.of("s", List.of(new ServiceRoute("FETCH", "levels", false, true))));
      assertThat(faults(ConfigState.empty(), new ConfigChange.PutTemplate(invalid)))
          .contains(
              "name",
              "classes.c.tier",
              "classes.c.firstTokenTargetMillis",
              "classes.c.floorShare",
              "classes.c.maxTokens",
              "services.s.method",
              "services.s.pathPrefix",
              "services.s.mayBeOpen");
    }

    @Test
    void twoWorkspacesMayNotOpenTheSameRoute() {
      List<OpenRoute> open = List.of(new OpenRoute("stock", "GET", "/levels"));
      ConfigState state =
          stateAfter(
              new ConfigChange.PutTemplate(TEMPLATE),
              new ConfigChange.PutParameters(parameters("a", open)));
      assertThat(faults(state, new ConfigChange.PutParameters(parameters("b", open)))).hasSize(1);
      assertThat(faults(state, new ConfigChange.PutParameters(parameters("b", List.of()))))
          .isEmpty();
    }

    @Test
    void aRouteThatMayNotBeOpenIsRejected() {
      ConfigState state = stateAfter(new ConfigChange.PutTemplate(TEMPLATE));
      List<OpenRoute> open = List.of(new OpenRoute("stock", "POST", "/orders"));
      assertThat(faults(state, new ConfigChange.PutParameters(parameters("a", open)))).hasSize(1);
    }

    @Test
    void aRequestClassInUseMayNotBeRemovedFromItsTemplate() {
      ConfigState state =
          stateAfter(
              new ConfigChange.PutTemplate(TEMPLATE),
              new ConfigChange.PutParameters(parameters("a", List.of())));
      Template withoutClass =
          new Template("field", Map.of("other", REQUEST_CLASS), List.of("m"), TEMPLATE.services());
      assertThat(faults(state, new ConfigChange.PutTemplate(withoutClass))).contains("classes");
    }
  }

  @Nested
  class JsonCodecTest {
    @Test
    void aChangeIsUnchangedAfterSerializationAndParsing() {
      ConfigChange change = new ConfigChange.PutParameters(parameters("a", List.of()));
      assertThat(JsonCodec.readStored(JsonCodec.write(change), ConfigChange.class))
          .isEqualTo(change);
      assertThat(JsonCodec.parseInput(JsonCodec.write(change), ConfigChange.class))
          .isEqualTo(new JsonCodec.ParseResult.Value<>(change));
    }

    @Test
    void unknownFieldsWrongTypesAndMissingNumbersAreAllReported() {
      String json =
          "{\"type\":\"put-template\",\"template\":{\"name\":\"t\",\"modles\":[],\"classes\":"
              + "{\"c\":{\"tier\":\"high\",\"firstTokenTargetMillis\":1,\"tokenGapTargetMillis\":1,"
              + "\"maxWaitMillis\":1,\"floorShare\":0.1}}}}";
      assertThat(JsonCodec.parseInput(json, ConfigChange.class))
          .isInstanceOfSatisfying(
              JsonCodec.ParseResult.Faults.class,
              read ->
                  assertThat(read.faults().toString())
                      .contains("template.modles")
                      .contains("template.classes.c.tier"));
    }

    @Test
    void aDuplicateFieldIsAFault() {
      assertThat(JsonCodec.parseInput("{\"type\":\"x\",\"type\":\"y\"}", ConfigChange.class))
          .isInstanceOf(JsonCodec.ParseResult.Faults.class);
    }
  }
}
