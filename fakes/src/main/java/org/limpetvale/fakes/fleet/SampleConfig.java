package org.limpetvale.fakes.fleet;

/** Sample template and workspace parameters for fleets on loopback. */
public final class SampleConfig {
  private SampleConfig() {}

  /** Returns a template with four request classes, one model and one service, as JSON. */
  public static String template() {
    return """
        {"name":"field-work",
         "classes":{
           "cab-question":{"tier":0,"firstTokenTargetMillis":1200,"tokenGapTargetMillis":45,
             "maxWaitMillis":4000,"floorShare":0.1,"maxTokens":2048},
           "round-plan":{"tier":1,"firstTokenTargetMillis":2500,"tokenGapTargetMillis":60,
             "maxWaitMillis":8000,"floorShare":0.1,"maxTokens":4096},
           "summary":{"tier":2,"firstTokenTargetMillis":6000,"tokenGapTargetMillis":100,
             "maxWaitMillis":15000,"floorShare":0.05,"maxTokens":4096},
           "contract-review":{"tier":3,"firstTokenTargetMillis":15000,"tokenGapTargetMillis":150,
             "maxWaitMillis":30000,"floorShare":0.05,"maxTokens":4096}},
         "models":["gully-7b"],
         "services":{"bookings":[
           {"method":"GET","pathPrefix":"/stock","repeatable":true,"mayBeOpen":true},
           {"method":"POST","pathPrefix":"/bookings","repeatable":false,"mayBeOpen":false}]}}
        """;
  }

  /**
   * Returns the parameters of a workspace as JSON; only the workspace {@code depot} opens the stock
   * route to callers without a key.
   */
  public static String parameters(String workspace) {
    String open =
        workspace.equals("depot")
            ? "[{\"service\":\"bookings\",\"method\":\"GET\",\"pathPrefix\":\"/stock\"}]"
            : "[]";
    return """
        {"workspace":"%s","template":"field-work",
         "classes":["cab-question","round-plan","summary","contract-review"],
         "defaultClass":"cab-question","models":["gully-7b"],"services":["bookings"],
         "openRoutes":%s,"weight":1,"budgetTokensPerMinute":1000000}
        """
        .formatted(workspace, open);
  }
}
