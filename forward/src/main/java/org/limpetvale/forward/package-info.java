/**
 * A daemon that forwards requests directly to upstreams, which perform admission themselves.
 *
 * <p>The stages of request processing are separate packages, in this order: {@code accept}, {@code
 * route}, {@code place}, {@code relay}, {@code account}. The interfaces to the platform are in
 * {@code spi}.
 */
package org.limpetvale.forward;
