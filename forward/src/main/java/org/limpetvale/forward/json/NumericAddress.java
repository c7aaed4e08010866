package org.limpetvale.forward.json;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Checks addresses that other processes write. Only IP addresses in digits are accepted, because a
 * name would be looked up while the event loop waits.
 */
public final class NumericAddress {
  /** The highest port. */
  public static final int MAX_PORT = 65_535;

  private static final String BYTE = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
  private static final Pattern IPV4 = Pattern.compile("(" + BYTE + "\\.){3}" + BYTE);

  private NumericAddress() {}

  /** Returns whether a host is an IPv4 address in its usual notation. */
  public static boolean isIpv4(String host) {
    return IPV4.matcher(host).matches();
  }

  /** Returns whether a port can be connected to. */
  public static boolean isPort(long port) {
    return port > 0 && port <= MAX_PORT;
  }

  /** Returns the address of an IPv4 or IPv6 host and a port; empty if either is invalid. */
  public static Optional<InetSocketAddress> of(String host, long port) {
    boolean valid = isPort(port) && (isIpv4(host) || NetUtil.isValidIpV6Address(host));
    return valid ? Optional.of(new InetSocketAddress(host, (int) port)) : Optional.empty();
  }
}
