import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.limpetvale.platform.standin.RawHttpClient;

/** The same lookup of one tenant is under way at three runners when these crash once. */
final class Case {
  static final int RUNNERS = 12;
  static final int CRASHES = 3;

  public static void main(String[] args) throws IOException, InterruptedException {
    Kit kit = new Kit(Path.of(args[0]));
    Set<String> busy = ConcurrentHashMap.newKeySet();
    Map<String, Integer> ran = new ConcurrentHashMap<>();
    Kit.Answerer answerer =
        (runner, request, socket, out) -> {
          ran.merge(request.id(), 1, Integer::sum);
          String lookup = request.line().split(" ")[1];
          if (lookup.equals("/look/2f")) {
            busy.add(runner.id);
          }
          Kit.sleep(lookup.equals("/look/2f") ? 120 : 43);
          Kit.answer(runner, request, out, "status of " + request.id());
          busy.remove(runner.id);
          return true;
        };
    Map<String, Kit.Runner> runners = new TreeMap<>();
    for (int i = 1; i <= RUNNERS; i++) {
      runners.put("i-" + i, kit.runner("i-" + i, "desk", 6, answerer));
    }
    kit.configure(
        7,
        List.of(Kit.route("look", "idempotent", "desk",
            "\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":2,"
                + "\"max_attempts\":2,\"public\":false")),
        List.of("{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":96}"),
        List.of("{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1}",
            "{\"name\":\"fida11\",\"api_keys\":[\"key-2\"]}"));
    List<Kit.Entry> entries = List.of(kit.entry("edge-1", "z"), kit.entry("edge-2", "z"));
    Kit.sleep(3_500);
    AtomicInteger number = new AtomicInteger();
    Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
    long end = kit.now() + 45_000;
    // Other lookups of both tenants, all the time.
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int n = i;
      threads.add(Thread.ofVirtual().start(() -> {
        while (kit.now() < end) {
          call(kit, entries.get(n % 2), "/look/o" + number.incrementAndGet(), n % 2 == 0 ? "key-1" : "key-2", "others", outcomes);
          Kit.sleep(60);
        }
      }));
    }
    Kit.sleep(3_000);
    // Three consumers of one tenant ask for the same thing at the same time.
    for (int i = 0; i < CRASHES; i++) {
      threads.add(Thread.ofVirtual().start(() -> call(kit, entries.get(0), "/look/2f", "key-1", "before", outcomes)));
    }
    Kit.sleep(60);
    if (Kit.TROUBLE) {
      for (String id : List.copyOf(busy)) {
        Kit.Runner runner = runners.get(id);
        runner.crash();
        Thread.ofVirtual().start(() -> {
          Kit.sleep(4_500);
          try {
            runner.start();
            kit.say("runner " + id + " is back");
          } catch (IOException e) {
            kit.say("runner " + id + " is not back: " + e);
          }
        });
      }
    }
    Kit.sleep(2_000);
    for (int i = 0; i < 36; i++) {
      call(kit, entries.get(i % 2), "/look/2f", "key-1", "same", outcomes);
      call(kit, entries.get(i % 2), "/look/2f", "key-2", "same of another tenant", outcomes);
      Kit.sleep(800);
    }
    for (Thread each : threads) {
      each.join();
    }
    kit.say(new TreeMap<>(outcomes).toString());
    int denied = outcomes.getOrDefault("same 422", new AtomicInteger()).get();
    int all = outcomes.values().stream().mapToInt(AtomicInteger::get).sum();
    kit.say(denied + " of " + all + " requests denied; allowed " + (5 + all / 500));
    kit.finish(denied > 5 + all / 500 ? 1 : 0);
  }

  static void call(Kit kit, Kit.Entry entry, String path, String key, String what, Map<String, AtomicInteger> outcomes) {
    String id = "q" + Long.toHexString(System.nanoTime());
    String outcome;
    try (RawHttpClient channel = RawHttpClient.connect(entry.callers)) {
      RawHttpClient.Response a = channel.call(Kit.request("GET", path, id, key, 1_500, "", ""));
      outcome = "" + a.status();
      if (!what.equals("others") || a.status() != 200) {
        kit.say(what + " " + id + " at " + entry.name + ": " + a.status() + " " + a.body());
      }
    } catch (IOException e) {
      outcome = "closed";
    }
    outcomes.computeIfAbsent(what + " " + outcome, k -> new AtomicInteger()).incrementAndGet();
  }
}
