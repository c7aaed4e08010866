package org.limpetvale.forward.accept;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The body of a request, which may still be arriving while the request is served. Used on the event
 * loop only.
 *
 * <p>It delivers its parts to one reader at a time, as fast as the reader accepts them. Delivered
 * parts are retained up to a size limit, so that another reader can replay them when the request is
 * sent again.
 */
public final class RequestBody {
  /** Largest body that is retained for another attempt once it is being forwarded. */
  static final int MAX_REPLAY_BYTES = 512 * 1024;

  /** Undelivered bytes above which no more should be read from the caller. */
  static final int MAX_PENDING_BYTES = 128 * 1024;

  /** Parts above which a body is not retained for another attempt, however short they are. */
  private static final int MAX_REPLAY_PARTS = 4_096;

  /** Memory that a part takes beside its bytes. */
  private static final long PART_OVERHEAD_BYTES = 32;

  private static final byte[] EMPTY = {};

  /** Receives the parts of a body. */
  public interface Reader {
    /** Returns whether another part can be accepted now. */
    boolean isReady();

    /** Called with the next part. */
    void onPart(byte[] bytes);

    /** Called once all parts have been delivered. */
    void onEnd();
  }

  private final CallerMemoryBudget memory;
  private final List<byte[]> parts = new ArrayList<>();

  /** Number of retained parts that have been delivered to the reader. */
  private int deliveredParts;

  /** Memory that the header of the request takes. */
  private long headBytes;

  private long retainedBytes;
  private long pendingBytes;
  private boolean replayable = true;
  private boolean ended;
  private boolean closed;
  private Reader reader;
  private boolean delivering;
  private Runnable onDrain = () -> {};

  private RequestBody(CallerMemoryBudget memory, long headBytes) {
    this.memory = Objects.requireNonNull(memory, "memory is null");
    this.headBytes = headBytes;
  }

  /** Creates a body of which nothing has arrived yet. */
  static RequestBody incoming(CallerMemoryBudget memory) {
    return incoming(memory, 0);
  }

  /**
   * Creates a body of which nothing has arrived yet.
   *
   * @param headBytes memory that the header of its request takes, which is already reserved
   */
  static RequestBody incoming(CallerMemoryBudget memory, long headBytes) {
    return new RequestBody(memory, headBytes);
  }

  /** Returns the memory that the request holds. */
  long heldBytes() {
    return headBytes + retainedBytes + parts.size() * PART_OVERHEAD_BYTES;
  }

  /** Adds a part, whose bytes are already reserved in the memory budget. */
  void add(byte[] bytes) {
    if (closed) {
      memory.release(bytes.length);
      return;
    }
    memory.reserve(PART_OVERHEAD_BYTES);
    parts.add(bytes);
    retainedBytes += bytes.length;
    pendingBytes += bytes.length;
    deliver();
  }

  /** Marks the body as complete: all parts have arrived. */
  void complete() {
    ended = true;
    deliver();
  }

  /** Sets the action that is run when more may be read from the caller. */
  void onDrain(Runnable action) {
    onDrain = Objects.requireNonNull(action, "action is null");
  }

  /**
   * Returns whether the undelivered bytes exceed the limit, so that no more should be read from the
   * caller.
   */
  boolean isFull() {
    return pendingBytes > MAX_PENDING_BYTES;
  }

  /**
   * Releases the delivered parts, and each later part as it is delivered; the body can then no
   * longer be replayed. Has no effect before the first delivery or during one.
   */
  void discardDelivered() {
    if (deliveredParts > 0 && !delivering) {
      replayable = false;
      releaseDelivered();
    }
  }

  /** Returns whether a part has been delivered. */
  boolean isBeingForwarded() {
    return deliveredParts > 0 || !replayable;
  }

  /** Releases all parts. */
  void close() {
    closed = true;
    reader = null;
    memory.release(heldBytes());
    parts.clear();
    headBytes = 0;
    retainedBytes = 0;
  }

  /** Returns whether the body has arrived completely. */
  public boolean hasArrived() {
    return ended;
  }

  /** Returns whether the body has arrived completely and is retained from its beginning. */
  public boolean isFullyBuffered() {
    return ended && replayable;
  }

  /** Returns whether the body can be delivered from its beginning. */
  public boolean canReplay() {
    return replayable;
  }

  /** Returns all bytes of a fully buffered body. */
  public byte[] bytes() {
    if (!isFullyBuffered()) {
      throw new IllegalStateException("the body is not fully buffered");
    }
    if (parts.size() == 1) {
      return parts.getFirst();
    }
    byte[] all = parts.isEmpty() ? EMPTY : new byte[Math.toIntExact(retainedBytes)];
    int offset = 0;
    for (byte[] part : parts) {
      System.arraycopy(part, 0, all, offset, part.length);
      offset += part.length;
    }
    return all;
  }

  /** Delivers the body to a reader from its beginning. */
  public void attach(Reader newReader) {
    if (!replayable) {
      throw new IllegalStateException("the beginning of the body is not retained");
    }
    reader = Objects.requireNonNull(newReader, "newReader is null");
    deliveredParts = 0;
    pendingBytes = retainedBytes;
    deliver();
  }

  /** Stops delivery to a reader, if it is the current one. */
  public void detach(Reader detached) {
    if (reader == detached) {
      reader = null;
    }
  }

  /** Delivers as many parts as the reader accepts; called again when it becomes ready. */
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
    if (!replayable || retainedBytes > MAX_REPLAY_BYTES || parts.size() > MAX_REPLAY_PARTS) {
      discardDelivered();
    }
    if (reader != null && ended && deliveredParts == parts.size()) {
      Reader finished = reader;
      reader = null;
      finished.onEnd();
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
    memory.release(deliveredParts * PART_OVERHEAD_BYTES);
    parts.subList(0, deliveredParts).clear();
    deliveredParts = 0;
    retainedBytes -= bytes;
    memory.release(bytes);
  }
}
