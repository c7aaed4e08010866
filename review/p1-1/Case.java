import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.limpetvale.platform.standin.RawHttpClient;

/** Streams that follow each other on kept channels while their daemon is stopped in a planned way. */
final class Case {
  private static final int CHANNELS = 8;
  private static final int EVENTS = 217;
  private static final long EVENT_MILLIS = 20;
  private static final long TERM_AFTER_MILLIS = 1_000;
  private static final long GRACE_MILLIS = 8_000;

  public static void main(String[] args) throws IOException, InterruptedException {
    Kit kit = new Kit(Path.of(args[0]));
    Map<String, Long> begun = new ConcurrentHashMap<>();
    Map<String, Long> done = new ConcurrentHashMap<>();
    Map<String, Long> broken = new ConcurrentHashMap<>();
    Kit.Answerer answerer =
        (runner, request, socket, out) -> {
          begun.put(request.id(), kit.now());
          kit.say("runner " + runner.id + " begins " + request.id());
          try {
            Kit.stream(runner, request, out, EVENTS, EVENT_MILLIS);
            done.put(request.id(), kit.now());
            kit.say("runner " + runner.id + " has ended " + request.id());
          } catch (IOException e) {
            broken.put(request.id(), kit.now());
            kit.say("runner " + runner.id + " loses the channel of " + request.id());
            throw e;
          }
          return true;
        };
    for (int i = 1; i <= 4; i++) {
      kit.runner("i-" + i, "brains", 64, answerer);
    }
    kit.configure(
        7,
        List.of(Kit.route("cab", "streaming", "brains",
            "\"timeout_ms\":15000,\"target_latency_ms\":300,\"target_gap_ms\":150,\"priority\":0,"
                + "\"max_attempts\":1,\"public\":false,\"session_affinity\":true,"
                + "\"resumable\":false")),
        List.of("{\"name\":\"brains\",\"health_path\":\"/healthz\",\"max_connections\":360,"
            + "\"backend\":{\"slots\":64,\"kv_capacity_tokens\":251543}}"),
        List.of("{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1}"));
    Kit.Entry entry = kit.entry("edge-1", "z");
    Kit.sleep(3_500);

    Map<String, Long> sent = new ConcurrentHashMap<>();
    Map<String, RawHttpClient.Response> answers = new ConcurrentHashMap<>();
    Map<String, Long> ended = new ConcurrentHashMap<>();
    AtomicInteger unusable = new AtomicInteger();
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < CHANNELS; i++) {
      int number = i;
      consumers.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    Kit.sleep(number * 60L);
                    try (RawHttpClient channel = RawHttpClient.connect(entry.callers)) {
                      for (String id : List.of("first-" + number, "second-" + number)) {
                        String parts = "X-Limpetvale-Model: m\r\n"
                            + "X-Limpetvale-Token-Count: 700,660\r\nX-Limpetvale-Prefix-Hash: "
                            + "5c1e07a2:103,91bd3f06:69,e440" + Math.abs(id.hashCode()) + ":528\r\n";
                        String text = Kit.request("POST", "/cab/2f", id, "key-1", 15_000, parts,
                            "{\"question\":\"" + id + "\"}");
                        sent.put(id, kit.now());
                        kit.say("consumer sends " + id);
                        RawHttpClient.Response answer = channel.call(text);
                        ended.put(id, kit.now());
                        answers.put(id, answer);
                        kit.say("consumer has " + id + ": status " + answer.status() + ", complete "
                            + answer.complete() + ", pieces "
                            + answer.body().split("data: ", -1).length + " - 1, Connection: "
                            + answer.header("Connection"));
                        if (!answer.complete()
                            || answer.header("Connection").equalsIgnoreCase("close")) {
                          return;
                        }
                      }
                    } catch (IOException e) {
                      unusable.incrementAndGet();
                      kit.say("consumer: the channel of " + number + " is closed: " + e);
                    }
                  }));
    }
    Kit.sleep(TERM_AFTER_MILLIS);
    long term = kit.now();
    if (Kit.TROUBLE) {
      kit.signal(entry, "TERM");
    }
    for (Thread consumer : consumers) {
      consumer.join(30_000);
    }
    if (Kit.TROUBLE) {
      kit.say("the daemon has ended: " + !entry.process.isAlive());
    }
    int lost = 0;
    int whole = 0;
    for (String id : sent.keySet()) {
      RawHttpClient.Response answer = answers.get(id);
      boolean complete = answer != null && answer.complete() && answer.status() > 0;
      whole += complete && answer.status() == 200 ? 1 : 0;
      boolean passedOn = begun.containsKey(id);
      long sinceTerm = sent.get(id) - term;
      long end = ended.getOrDefault(id, kit.now());
      boolean excused = sinceTerm <= 3_000 && end - term >= GRACE_MILLIS * 5 / 6;
      boolean inTime = end - term <= GRACE_MILLIS + 1_000 && end - sent.get(id) < 15_000;
      if (passedOn && !complete && !excused && inTime) {
        lost++;
        kit.say("LOST: " + id + ", sent " + sinceTerm + " ms after the SIGTERM, passed on to a runner, "
            + "ended without a complete answer " + (end - term) + " ms after the SIGTERM");
      }
    }
    kit.say(sent.size() + " requests sent, " + whole + " served whole, " + lost + " lost");
    if (!Kit.TROUBLE && whole < 2 * CHANNELS) {
      kit.say("without the disruption not all were served");
      kit.finish(1);
    }
    kit.finish(lost > 0 ? 1 : 0);
  }
}
