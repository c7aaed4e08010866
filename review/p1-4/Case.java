import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.limpetvale.platform.standin.RawHttpClient;

/** A daemon is cut off from its runners for some seconds while consumers look up the same things. */
final class Case {
  private static final int RUNNERS = 4;
  private static final long CUT_MILLIS = 5_500;
  private static final long CONTACT_MILLIS = 3_000;
  private static final List<String> HOT = List.of("/look/round-1", "/look/round-2", "/look/round-3");

  public static void main(String[] args) throws IOException, InterruptedException {
    Kit kit = new Kit(Path.of(args[0]));
    Kit.Answerer answerer =
        (runner, request, socket, out) -> {
          Kit.sleep(43);
          Kit.answer(runner, request, out, "state for " + request.id());
          return true;
        };
    List<Kit.Link> links = new ArrayList<>();
    for (int i = 1; i <= RUNNERS; i++) {
      links.add(new Kit.Link());
      kit.runner("i-" + i, "desk", 6, answerer, links.getLast());
    }
    kit.configure(
        7,
        List.of(Kit.route("look", "idempotent", "desk",
            "\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,"
                + "\"max_attempts\":2,\"public\":false")),
        List.of("{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":96}"),
        List.of("{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1}",
            "{\"name\":\"fida11\",\"api_keys\":[\"key-2\"]}"));
    Kit.Entry entry = kit.entry("edge-1", "z");
    Kit.sleep(4_000);
    Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
    AtomicInteger number = new AtomicInteger();
    AtomicInteger denied = new AtomicInteger();
    long start = kit.now();
    long cut = start + 6_000;
    long inTouch = cut + CUT_MILLIS + CONTACT_MILLIS;
    long end = inTouch + 20_000;
    List<Thread> consumers = new ArrayList<>();
    for (int i = 0; i < 17; i++) {
      int which = i;
      consumers.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    while (kit.now() < end) {
                      int n = number.incrementAndGet();
                      String path = which < 15 ? HOT.get(which % HOT.size()) : "/look/street-" + n;
                      String key = which < 15 ? "key-1" : "key-2";
                      long sent = kit.now();
                      String phase = sent < cut ? "1 before" : sent < inTouch ? "2 cut" : "3 after";
                      int status = call(entry, path, key, "q" + n);
                      if (phase.startsWith("3") && status == 422) {
                        denied.incrementAndGet();
                      }
                      if (status != 200) {
                        kit.say("consumer: q" + n + " " + path + ", sent at " + sent + " ms: " + status);
                      }
                      outcomes.computeIfAbsent(phase + " " + (which < 15 ? "hot" : "other") + " "
                          + status, name -> new AtomicInteger()).incrementAndGet();
                      Kit.sleep(status == 200 ? 20 : 250);
                    }
                  }));
    }
    kit.sleepUntil(cut);
    if (Kit.TROUBLE) {
      kit.say("the daemon is cut off from its runners");
      for (Kit.Link link : links) {
        link.cut();
      }
      Kit.sleep(CUT_MILLIS);
      for (Kit.Link link : links) {
        link.heal();
      }
      kit.say("the cut has healed");
    }
    for (Thread each : consumers) {
      each.join();
    }
    int all = outcomes.values().stream().mapToInt(AtomicInteger::get).sum();
    kit.say(new TreeMap<>(outcomes).toString());
    kit.say(denied + " of " + all + " requests denied by a daemon in touch; allowed are "
        + (5 + all / 500));
    kit.finish(denied.get() > 5 + all / 500 ? 1 : 0);
  }

  private static int call(Kit.Entry entry, String path, String key, String id) {
    try (RawHttpClient channel = RawHttpClient.connect(entry.callers)) {
      return channel.call(Kit.request("GET", path, id, key, 1_500, "", "")).status();
    } catch (IOException e) {
      return 0;
    }
  }
}
