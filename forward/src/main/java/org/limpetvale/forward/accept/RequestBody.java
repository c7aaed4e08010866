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
  static final int MAX_REPLAY_BYTES = 512 * 1024;

  /** Bytes that wait for the reader above which no more should be read from the caller. */
  static final int MAX_PENDING_BYTES = 128 * 1024;

  private static final byte[] EMPTY = {};

  /** Takes the parts of a body. */
  public interface Reader {
    /** Tells whether another part can be taken now. */
    boolean isReady();

    /** Takes a part. */
    void onPart(byte[] bytes);

    /** Takes note that the body is complete. */
    void onEnd();
  }

  private final BodyMemoryBudget memory;
  private final List<byte[]> parts = new ArrayList<>();

  /** Number of the parts that the reader has been given; counts only parts that are kept. */
  private int deliveredParts;

  private long retainedBytes;
  private long pendingBytes;
  private boolean replayable = true;
  private boolean ended;
  private boolean closed;
  private Reader reader;
  private boolean delivering;
  private Runnable onDrain = () -> {};

  private RequestBody(BodyMemoryBudget memory) {
    this.memory = Objects.requireNonNull(memory, "memory is null");
  }

  /** Returns a body of which nothing has arrived. */
  static RequestBody incoming(BodyMemoryBudget memory) {
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
    retainedBytes += bytes.length;
    pendingBytes += bytes.length;
    deliver();
  }

  /** Notes that all parts have arrived. */
  void complete() {
    ended = true;
    deliver();
  }

  /** Sets what is run when the reader has taken enough for more to be read from the caller. */
  void onDrain(Runnable action) {
    onDrain = Objects.requireNonNull(action, "action is null");
  }

  /** Tells whether so much waits for the reader that no more should be read from the caller. */
  boolean isFull() {
    return pendingBytes > MAX_PENDING_BYTES;
  }

  /** Lets go of the parts that were given, and of the others as they are given. */
  void discardDelivered() {
    if (deliveredParts > 0 && !delivering) {
      replayable = false;
      releaseDelivered();
    }
  }

  /** Lets go of all parts. */
  void close() {
    closed = true;
    reader = null;
    parts.clear();
    memory.release(retainedBytes);
    retainedBytes = 0;
  }

  // -- the upstream's side

  /** Tells whether the body has arrived in full and is kept. */
  public boolean isFullyBuffered() {
    return ended && replayable;
  }

  /** Tells whether a reader can be given the body from its beginning. */
  public boolean canReplay() {
    return replayable;
  }

  /** Returns all bytes of a body that is whole. */
  public byte[] bytes() {
    if (!isFullyBuffered()) {
      throw new IllegalStateException("the body is not whole");
    }
    if (parts.size() == 1) {
      return parts.getFirst();
    }
    byte[] all = parts.isEmpty() ? EMPTY : new byte[Math.toIntExact(retainedBytes)];
    int at = 0;
    for (byte[] part : parts) {
      System.arraycopy(part, 0, all, at, part.length);
      at += part.length;
    }
    return all;
  }

  /** Gives the body to a reader, from its beginning. */
  public void attach(Reader next) {
    if (!replayable) {
      throw new IllegalStateException("the beginning of the body is not kept");
    }
    reader = Objects.requireNonNull(next, "next is null");
    deliveredParts = 0;
    pendingBytes = retainedBytes;
    deliver();
  }

  /** Gives the reader no more. */
  public void detach(Reader old) {
    if (reader == old) {
      reader = null;
    }
  }

  /** Gives what the reader can take, as when it has become ready. */
  public void deliver() {
    if (delivering) {
      return;
    }
    delivering = true;
    while (reader != null && deliveredParts < parts.size() && reader.isReady()) {
      byte[] part = parts.get(deliveredParts++);
      pendingBytes -= part.length;
      reader.onPart(part);
    }
    delivering = false;
    if (!replayable || retainedBytes > MAX_REPLAY_BYTES) {
      discardDelivered();
    }
    if (reader != null && ended && deliveredParts == parts.size()) {
      Reader done = reader;
      reader = null;
      done.onEnd();
    }
    if (!isFull()) {
      onDrain.run();
    }
  }

  private void releaseDelivered() {
    long bytes = 0;
    for (byte[] part : parts.subList(0, deliveredParts)) {
      bytes += part.length;
    }
    parts.subList(0, deliveredParts).clear();
    deliveredParts = 0;
    retainedBytes -= bytes;
    memory.release(bytes);
  }
}
