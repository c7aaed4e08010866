package org.limpetvale.forward.accept;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.OptionalInt;

/**
 * What callers may take of this process's memory and descriptors.
 *
 * @param memoryBytes maximum size of what their requests hold in memory
 * @param maxConnections maximum number of their connections
 */
public record CallerCapacity(long memoryBytes, int maxConnections) {
  private static final long BYTES_PER_MEGABYTE = 1024 * 1024;

  /** Callers may hold one part in this many of the heap; the rest is for all else. */
  private static final long HEAP_PARTS = 4;

  /** Callers may hold one part in this many of the VM's memory, which the heap shares. */
  private static final long VM_PARTS = 8;

  /** Descriptors for files, which the platform reserves. */
  private static final int RESERVED_DESCRIPTORS = 200;

  /** Each caller's connection may need another one to an upstream. */
  private static final int DESCRIPTORS_PER_CALLER = 2;

  private static final int DEFAULT_MAX_DESCRIPTORS = 4_096;

  public CallerCapacity {
    if (memoryBytes <= 0 || maxConnections <= 0) {
      throw new IllegalArgumentException("the capacity must be above 0");
    }
  }

  /**
   * Returns the capacity that follows from the limits of the VM and of this JVM.
   *
   * @param memoryMegabytes memory of the VM; empty if only the JVM's limits apply
   * @param maxDescriptors descriptors of this process; empty if only the JVM's limits apply
   */
  public static CallerCapacity of(OptionalInt memoryMegabytes, OptionalInt maxDescriptors) {
    long heapBytes = Runtime.getRuntime().maxMemory() / HEAP_PARTS;
    long vmBytes =
        memoryMegabytes.isPresent()
            ? memoryMegabytes.getAsInt() * BYTES_PER_MEGABYTE / VM_PARTS
            : Long.MAX_VALUE;
    int descriptors = Math.min(maxDescriptors.orElse(Integer.MAX_VALUE), jvmDescriptors());
    int sockets = Math.max(descriptors / 2, descriptors - RESERVED_DESCRIPTORS);
    return new CallerCapacity(
        Math.max(BYTES_PER_MEGABYTE, Math.min(heapBytes, vmBytes)),
        Math.max(1, sockets / DESCRIPTORS_PER_CALLER));
  }

  private static int jvmDescriptors() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
            && unix.getMaxFileDescriptorCount() > 0
        ? (int) Math.min(Integer.MAX_VALUE, unix.getMaxFileDescriptorCount())
        : DEFAULT_MAX_DESCRIPTORS;
  }
}
