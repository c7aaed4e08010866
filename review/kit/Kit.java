import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.limpetvale.platform.standin.PortAllocator;
import org.limpetvale.platform.standin.RawHttpClient;
import org.limpetvale.platform.standin.StandInDutyService;
import org.limpetvale.platform.standin.StandInStore;

/**
 * A small deployment for the cases: the platform (the project's own stand-ins), runners, and the
 * daemons, which are started with the command of the deploy file.
 */
final class Kit implements AutoCloseable {
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  final StandInStore store;
  final StandInDutyService duties;
  private final Path folder;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<Entry> entries = new ArrayList<>();
  private final List<Runner> runners = new ArrayList<>();

  /** A daemon. */
  static final class Entry {
    final String name;
    final int callers;
    final int ready;
    final Path settings;
    final Path log;
    Process process;

    Entry(String name, int callers, int ready, Path settings, Path log) {
      this.name = name;
      this.callers = callers;
      this.ready = ready;
      this.settings = settings;
      this.log = log;
    }
  }

  Kit(Path caseFolder) throws IOException {
    store = StandInStore.start();
    duties = StandInDutyService.start();
    folder = Files.createTempDirectory("limpetvale-review");
    record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    say("trouble: " + TROUBLE);
  }

  /** Milliseconds since the start of the case. */
  long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /** Writes a line with its time to record.txt. */
  synchronized void say(String text) {
    record.println(String.format(Locale.ROOT, "%8.3f  %s", now() / 1000.0, text));
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void sleepUntil(long millis) {
    sleep(Math.max(0, millis - now()));
  }

  static String route(String name, String kind, String service, String more) {
    return "{\"name\":\"r-" + name + "\",\"host\":\"h.example\",\"prefix\":\"/" + name
        + "/\",\"route_type\":\"" + kind + "\",\"service\":\"" + service + "\"," + more + "}";
  }

  /** Writes a configuration as the operator does. */
  void configure(long version, List<String> routes, List<String> services, List<String> tenants) {
    store.put(
        "op",
        "config",
        "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services)
            + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
            + String.join(",", tenants) + "]}");
    say("operator: configuration " + version + " is confirmed");
  }

  Runner runner(String id, String service, int slots, Answerer answerer) throws IOException {
    Runner runner = new Runner(this, id, service, slots, answerer);
    runner.start();
    runners.add(runner);
    return runner;
  }

  /** Starts a runner that is reached through a link. */
  Runner runner(String id, String service, int slots, Answerer answerer, Link link)
      throws IOException {
    Runner runner = new Runner(this, id, service, slots, answerer);
    runner.namedPort = link.port;
    link.target = runner.port;
    runner.start();
    link.heal();
    runners.add(runner);
    return runner;
  }

  /** The link to a runner; a cut resets its channels and refuses new ones. */
  static final class Link {
    final int port = PortAllocator.allocate();
    private volatile int target;
    private ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    synchronized void heal() throws IOException {
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
      ServerSocket mine = listener;
      Thread.ofVirtual().start(() -> accept(mine));
    }

    synchronized void cut() throws IOException {
      listener.close();
      for (Socket socket : sockets) {
        reset(socket);
      }
      sockets.clear();
    }

    private static void reset(Socket socket) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It is closed.
      }
    }

    private void accept(ServerSocket from) {
      while (true) {
        try {
          Socket near = from.accept();
          Socket far = new Socket("127.0.0.1", target);
          near.setTcpNoDelay(true);
          far.setTcpNoDelay(true);
          sockets.add(near);
          sockets.add(far);
          Thread.ofVirtual().start(() -> pump(near, far));
          Thread.ofVirtual().start(() -> pump(far, near));
        } catch (IOException e) {
          if (from.isClosed()) {
            return;
          }
        }
      }
    }

    private void pump(Socket from, Socket to) {
      byte[] buffer = new byte[16_384];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          out.write(buffer, 0, count);
        }
        from.close();
        to.close();
      } catch (IOException e) {
        reset(from);
        reset(to);
      }
      sockets.remove(from);
      sockets.remove(to);
    }
  }

  /** Starts a daemon with the command of the deploy file and waits until it is ready. */
  Entry entry(String name, String zone) throws IOException {
    int callers = PortAllocator.allocate();
    int ready = PortAllocator.allocate();
    Path settings = folder.resolve(name + ".json");
    Files.writeString(
        settings,
        """
        {"name": "%s", "zone": "%s",
         "listen": {"callers": "127.0.0.1:%d", "ready": "127.0.0.1:%d",
                    "metrics": "127.0.0.1:%d", "peers": "127.0.0.1:%d"},
         "store": {"address": "%s"}, "duties": {"address": "%s"},
         "bounds": {"revokeMillis": 5000, "graceMillis": 8000, "leaseMillis": 3000,
                    "usageWindowMillis": 5000, "retryRatio": 0.2, "retryAllowance": 52,
                    "retryWindowMillis": 10000}}
        """
            .formatted(name, zone, callers, ready, PortAllocator.allocate(),
                PortAllocator.allocate(), store.address(), duties.address()));
    Entry entry = new Entry(name, callers, ready, settings, folder.resolve(name + ".log"));
    entries.add(entry);
    start(entry);
    return entry;
  }

  /** Starts the process of a daemon and waits until it is ready. */
  void start(Entry entry) throws IOException {
    Map<String, String> deploy = new TreeMap<>();
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      int equals = line.indexOf(" = ");
      if (equals > 0) {
        deploy.put(line.substring(0, equals), line.substring(equals + 3).replace("\"", ""));
      }
    }
    ProcessBuilder builder = new ProcessBuilder(deploy.get("run").split(" "));
    builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("LIMPETVALE_CONFIG", entry.settings.toString());
    entry.process =
        builder
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(entry.log.toFile()))
            .start();
    long end = now() + 25_000;
    while (!isReady(entry)) {
      if (now() > end || !entry.process.isAlive()) {
        unable("the daemon " + entry.name + " does not get ready");
      }
      sleep(50);
    }
    say("daemon " + entry.name + " is ready");
  }

  static boolean isReady(Entry entry) {
    try (RawHttpClient caller = RawHttpClient.connect(entry.ready)) {
      return caller.call("GET /limpetvale/readyz HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a signal, such as TERM or STOP, to a daemon. */
  void signal(Entry entry, String name) throws IOException {
    say("platform: SIG" + name + " to " + entry.name);
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(entry.process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  String log(Entry entry) throws IOException {
    return Files.readString(entry.log);
  }

  void unable(String why) {
    say("could not run: " + why);
    finish(2);
  }

  /** Ends the case with the given exit status. */
  void finish(int status) {
    say("exit " + status);
    endProcesses();
    Runtime.getRuntime().halt(status);
  }

  private void endProcesses() {
    for (Entry entry : entries) {
      if (entry.process != null) {
        entry.process.destroyForcibly();
      }
    }
    String kept = System.getenv("KEEP_LOGS");
    for (Entry entry : entries) {
      try {
        if (kept != null) {
          Files.createDirectories(Path.of(kept));
          Files.copy(entry.log, Path.of(kept, entry.name + ".log"),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
        Files.deleteIfExists(entry.log);
        Files.deleteIfExists(entry.settings);
      } catch (IOException e) {
        // Nothing is left to do for this file.
      }
    }
    folder.toFile().delete();
  }

  @Override
  public void close() {
    endProcesses();
  }

  /** A request that a runner has read. */
  record Request(String line, Map<String, String> headers, byte[] body, long atMillis) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String id() {
      return header("X-Limpetvale-Request-Id");
    }
  }

  /** Answers a request; returns whether the channel is kept. */
  interface Answerer {
    boolean answer(Runner runner, Request request, Socket socket, OutputStream out)
        throws IOException, InterruptedException;
  }

  /** A runner: registers itself, runs requests, says by whom it is reached. */
  static final class Runner {
    final Kit kit;
    final String id;
    final String service;
    final int slots;
    final int port;
    /** Port that the entry in the store names: that of a link to this runner, if there is one. */
    volatile int namedPort;
    private final Answerer answerer;
    private ServerSocket listener;
    private volatile boolean up;
    private volatile String state = "ready";
    private long born;
    private long seq;
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Runner(Kit kit, String id, String service, int slots, Answerer answerer) {
      this.kit = kit;
      this.id = id;
      this.service = service;
      this.slots = slots;
      this.answerer = answerer;
      this.port = PortAllocator.allocate();
      this.namedPort = port;
    }

    void start() throws IOException {
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
      up = true;
      born = System.currentTimeMillis();
      seq = 0;
      beat();
      ServerSocket mine = listener;
      Thread.ofVirtual().start(() -> accept(mine));
      Thread.ofVirtual()
          .start(
              () -> {
                while (up && mine == listener) {
                  sleep(1_200);
                  if (up && mine == listener) {
                    beat();
                  }
                }
              });
    }

    private void beat() {
      kit.store.put(
          "servers",
          id,
          String.format(
              Locale.ROOT,
              "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\",\"version\":\"v1\","
                  + "\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":0,\"seq\":%d,\"born\":%d}",
              service, namedPort, slots, state, ++seq, born));
    }

    /** Crashes: all channels end, nothing listens, the entry goes after three reports missed. */
    void crash() {
      up = false;
      try {
        listener.close();
        for (Socket socket : sockets) {
          socket.setSoLinger(true, 0);
          socket.close();
        }
      } catch (IOException e) {
        // It is closed.
      }
      kit.say("runner " + id + " crashes");
      Thread.ofVirtual()
          .start(
              () -> {
                sleep(3_600);
                if (!up) {
                  kit.store.remove("servers", id);
                }
              });
    }

    private void accept(ServerSocket from) {
      while (true) {
        try {
          Socket socket = from.accept();
          Thread.ofVirtual().start(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      sockets.add(socket);
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
        OutputStream out = socket.getOutputStream();
        boolean kept = true;
        while (kept) {
          Request request = read(in);
          if (request == null) {
            return;
          }
          String expected = request.header("X-Limpetvale-Expect-Instance");
          if (!expected.isEmpty() && !expected.equals(id)) {
            send(out, "HTTP/1.1 421 Misdirected Request\r\nX-Limpetvale-Instance-Id: " + id
                + "\r\nX-Limpetvale-Request-Id: " + request.id() + "\r\nContent-Length: 0\r\n\r\n");
            continue;
          }
          kept = answerer.answer(this, request, socket, out);
        }
      } catch (IOException | InterruptedException e) {
        // The channel has ended.
      } finally {
        sockets.remove(socket);
      }
    }

    private Request read(InputStream in) throws IOException {
      String line = line(in);
      if (line.isEmpty()) {
        return null;
      }
      Map<String, String> headers = new TreeMap<>();
      for (String header = line(in); !header.isEmpty(); header = line(in)) {
        int colon = header.indexOf(':');
        headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT),
            header.substring(colon + 1).trim());
      }
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
        for (int size = Integer.parseInt(line(in), 16); size > 0;
            size = Integer.parseInt(line(in), 16)) {
          body.writeBytes(exactly(in, size));
          line(in);
        }
        line(in);
      } else {
        body.writeBytes(exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
      }
      return new Request(line, headers, body.toByteArray(), kit.now());
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
      byte[] bytes = in.readNBytes(size);
      if (bytes.length < size) {
        throw new EOFException();
      }
      return bytes;
    }

    private static String line(InputStream in) throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      for (int read = in.read(); read >= 0 && read != '\n'; read = in.read()) {
        if (read != '\r') {
          bytes.write(read);
        }
      }
      return bytes.toString(StandardCharsets.ISO_8859_1);
    }
  }

  static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Answers with a body of a stated length. */
  static void answer(Runner runner, Request request, OutputStream out, String body)
      throws IOException {
    send(out, "HTTP/1.1 200 OK\r\nX-Limpetvale-Request-Id: " + request.id()
        + "\r\nX-Limpetvale-Response-Signature: s." + runner.id + "." + request.id()
        + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Starts a stream of events in chunks. */
  static void streamHead(Runner runner, Request request, OutputStream out) throws IOException {
    send(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Limpetvale-Request-Id: "
        + request.id() + "\r\nX-Limpetvale-Response-Signature: s." + runner.id + "." + request.id()
        + "\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

  static void chunk(OutputStream out, String text) throws IOException {
    send(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  /** A stream of events with ids from 1, one each some milliseconds. */
  static void stream(Runner runner, Request request, OutputStream out, int events, long eachMillis)
      throws IOException {
    streamHead(runner, request, out);
    String after = request.header("Last-Event-Id");
    int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
    long start = System.nanoTime();
    for (int i = first; i <= events; i++) {
      long due = start + (i - first + 1) * eachMillis * 1_000_000;
      sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
      chunk(out, "id: " + i + "\ndata: piece " + i + " of " + request.id() + "\n\n");
    }
    send(out, "0\r\n\r\n");
  }

  /** A request of a consumer. */
  static String request(String method, String path, String id, String key, long deadlineMillis,
      String more, String body) {
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Limpetvale-Request-Id: " + id
        + "\r\nX-Limpetvale-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + key
        + "\r\n" + more
        + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n")
        + "\r\n" + body;
  }
}
