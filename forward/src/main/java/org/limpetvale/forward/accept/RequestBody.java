package org.limpetvale.forward.accept;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The body of a request, which may still be arriving while the request is served; for the event
 * loop only.
 *
 * <p>It gives its parts to one reader at a time, as fast as the reader takes them. Parts that were
 * given are kept for another reader, so that the request can be sent again, up to a size.
 */
public final class RequestBody {
  /** Largest body that is kept whole for another attempt once it is being sent on. */
  static final int MOST_KEPT_BYTES = 512 * 1024;

  /** Bytes that wait for the reader above which no more should be read from the caller. */
  static final int MOST_WAITING_BYTES = 128 * 1024;

  private static final byte[] NOTHING = {};

  /** Takes the parts of a body. */
  public interface Reader {
    /** Tells whether another part can be taken now. */
    boolean isReady();

    /** Takes a part. */
    void part(byte[] bytes);

    /** Takes note that the body is complete. */
    void end();
  }

  private final BodyMemory memory;
  private final List<byte[]> parts = new ArrayList<>();

  /** Number of the parts that the reader has been given; counts only parts that are kept. */
  private int given;

  private long keptBytes;
  private long waitingBytes;
  private boolean replayable = true;
  private boolean ended;
  private boolean closed;
  private Reader reader;
  private boolean pumping;
  private Runnable onRoom = () -> {};

  private RequestBody(BodyMemory memory) {
    this.memory = Objects.requireNonNull(memory, "memory is null");
  }

  /** Returns a body of which nothing has arrived. */
  static RequestBody arriving(BodyMemory memory) {
    return new RequestBody(memory);
  }

  // -- the caller's side

  /** Adds a part; its bytes have been counted by the memory. */
  void add(byte[] bytes) {
    if (closed) {
      memory.release(bytes.length);
      return;
    }
    parts.add(bytes);
    keptBytes += bytes.length;
    waitingBytes += bytes.length;
    pump();
  }

  /** Notes that all parts have arrived. */
  void end() {
    ended = true;
    pump();
  }

  /** Sets what is run when the reader has taken enough for more to be read from the caller. */
  void onRoom(Runnable action) {
    onRoom = Objects.requireNonNull(action, "action is null");
  }

  /** Tells whether so much waits for the reader that no more should be read from the caller. */
  boolean isFull() {
    return waitingBytes > MOST_WAITING_BYTES;
  }

  /** Lets go of the parts that were given, and of the others as they are given. */
  void keepNoLonger() {
    if (given > 0 && !pumping) {
      replayable = false;
      forgetGiven();
    }
  }

  /** Lets go of all parts. */
  void close() {
    closed = true;
    reader = null;
    parts.clear();
    memory.release(keptBytes);
    keptBytes = 0;
  }

  // -- the upstream's side

  /** Tells whether the body has arrived in full and is kept. */
  public boolean isWhole() {
    return ended && replayable;
  }

  /** Tells whether a reader can be given the body from its beginning. */
  public boolean canReplay() {
    return replayable;
  }

  /** Returns all bytes of a body that is whole. */
  public byte[] bytes() {
    if (!isWhole()) {
      throw new IllegalStateException("the body is not whole");
    }
    if (parts.size() == 1) {
      return parts.getFirst();
    }
    byte[] all = parts.isEmpty() ? NOTHING : new byte[Math.toIntExact(keptBytes)];
    int at = 0;
    for (byte[] part : parts) {
      System.arraycopy(part, 0, all, at, part.length);
      at += part.length;
    }
    return all;
  }

  /** Gives the body to a reader, from its beginning. */
  public void readBy(Reader next) {
    if (!replayable) {
      throw new IllegalStateException("the beginning of the body is not kept");
    }
    reader = Objects.requireNonNull(next, "next is null");
    given = 0;
    waitingBytes = keptBytes;
    pump();
  }

  /** Gives the reader no more. */
  public void leave(Reader old) {
    if (reader == old) {
      reader = null;
    }
  }

  /** Gives what the reader can take, as when it has become ready. */
  public void pump() {
    if (pumping) {
      return;
    }
    pumping = true;
    while (reader != null && given < parts.size() && reader.isReady()) {
      byte[] part = parts.get(given++);
      waitingBytes -= part.length;
      reader.part(part);
    }
    pumping = false;
    if (!replayable || keptBytes > MOST_KEPT_BYTES) {
      keepNoLonger();
    }
    if (reader != null && ended && given == parts.size()) {
      Reader done = reader;
      reader = null;
      done.end();
    }
    if (!isFull()) {
      onRoom.run();
    }
  }

  private void forgetGiven() {
    long bytes = 0;
    for (byte[] part : parts.subList(0, given)) {
      bytes += part.length;
    }
    parts.subList(0, given).clear();
    given = 0;
    keptBytes -= bytes;
    memory.release(bytes);
  }
}
