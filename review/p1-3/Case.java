import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetvale.platform.standin.RawHttpClient;

/** Some runners send bytes that are no answer, without end, in the bodies of their answers. */
final class Case {
  private static final int RUNNERS = 12;
  private static final int IN_TROUBLE = 3;
  private static final int CONSUMERS = 192;
  private static final long THINK_MILLIS = 1_250;
  private static final int EVENTS = 30;
  private static final long EVENT_MILLIS = 20;
  private static final long TIMEOUT_MILLIS = 4_000;
  private static final long TROUBLE_MILLIS = 12_000;

  public static void main(String[] args) throws IOException, InterruptedException {
    Kit kit = new Kit(Path.of(args[0]));
    AtomicInteger floods = new AtomicInteger();
    AtomicLong floodBytes = new AtomicLong();
    boolean[] flooding = {false};
    Kit.Answerer answerer =
        (runner, request, socket, out) -> {
          if (flooding[0] && Integer.parseInt(runner.id.substring(2)) <= IN_TROUBLE) {
            floods.incrementAndGet();
            kit.say("runner " + runner.id + " answers " + request.id() + " with bytes without end");
            flood(runner, request, out, floodBytes);
            return false;
          }
          Kit.stream(runner, request, out, EVENTS, EVENT_MILLIS);
          return true;
        };
    for (int i = 1; i <= RUNNERS; i++) {
      kit.runner("i-" + i, "brains", 64, answerer);
    }
    kit.configure(
        7,
        List.of(Kit.route("hist", "streaming", "brains",
            "\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":500,\"target_gap_ms\":250,"
                + "\"priority\":1,\"max_attempts\":2,\"public\":false,\"session_affinity\":true,"
                + "\"resumable\":true")),
        List.of("{\"name\":\"brains\",\"health_path\":\"/healthz\",\"max_connections\":360,"
            + "\"backend\":{\"slots\":64,\"kv_capacity_tokens\":251543}}"),
        List.of("{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1}"));
    Kit.Entry entry = kit.entry("edge-1", "z");
    Kit.sleep(4_000);
    flooding[0] = Kit.TROUBLE;
    long end = kit.now() + TROUBLE_MILLIS;
    Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
    AtomicInteger number = new AtomicInteger();
    AtomicInteger longer = new AtomicInteger();
    AtomicInteger late = new AtomicInteger();
    AtomicLong longest = new AtomicLong();
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < CONSUMERS; i++) {
      int first = i;
      consumers.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    Kit.sleep(first * THINK_MILLIS / CONSUMERS);
                    while (kit.now() < end) {
                      String id = "r" + number.incrementAndGet();
                      long sent = kit.now();
                      String outcome = call(entry, id);
                      long took = kit.now() - sent;
                      longest.accumulateAndGet(took, Math::max);
                      longer.addAndGet(took >= TIMEOUT_MILLIS ? 1 : 0);
                      late.addAndGet(took >= TIMEOUT_MILLIS + 500 ? 1 : 0);
                      kit.say("consumer: " + id + ", sent at " + sent + " ms: " + outcome
                          + " after " + took + " ms");
                      outcomes.computeIfAbsent(
                              outcome + (took >= TIMEOUT_MILLIS + 500 ? ", late" : ""),
                              key -> new AtomicInteger())
                          .incrementAndGet();
                      Kit.sleep(THINK_MILLIS);
                    }
                  }));
    }
    for (Thread each : consumers) {
      each.join();
    }
    kit.say(new TreeMap<>(outcomes) + ", longest " + longest + " ms");
    kit.say(floods + " floods, " + floodBytes.get() / 1_000_000 + " MB written");
    kit.say(number + " requests; at the route's timeout_ms " + longer + " had no final answer, half "
        + "a second later " + late);
    kit.finish(late.get() >= 8 && 2 * late.get() > longer.get() ? 1 : 0);
  }

  private static String call(Kit.Entry entry, String id) {
    String parts = "X-Limpetvale-Model: m\r\nX-Limpetvale-Token-Count: 100,90\r\n"
        + "X-Limpetvale-Prefix-Hash: 5c1e07a2:30,91bd3f06:20,e440"
        + Integer.toHexString(Math.abs(id.hashCode())) + ":50\r\n";
    try (RawHttpClient channel = RawHttpClient.connect(entry.callers)) {
      RawHttpClient.Response answer =
          channel.call(
              Kit.request("POST", "/hist/2f", id, "key-1", TIMEOUT_MILLIS, parts,
                  "{\"question\":\"" + id + "\"}"));
      return answer.status() + (answer.complete() ? " whole" : " broken off");
    } catch (IOException e) {
      return "nothing";
    }
  }

  /** Sends bytes that are no events after the head of an answer, until the channel is closed. */
  private static void flood(
      Kit.Runner runner, Kit.Request request, OutputStream out, AtomicLong written)
      throws IOException {
    Kit.streamHead(runner, request, out);
    byte[] bytes = new byte[65_536];
    new Random(7).nextBytes(bytes);
    bytes[1_000] = '\n';
    bytes[1_001] = '\n';
    while (true) {
      out.write("10000\r\n".getBytes(StandardCharsets.ISO_8859_1));
      out.write(bytes);
      out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
      written.addAndGet(bytes.length);
    }
  }
}
