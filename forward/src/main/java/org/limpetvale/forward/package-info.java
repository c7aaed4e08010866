/**
 * A daemon that forwards requests straight to upstreams which admit by themselves.
 *
 * <p>The filters of the path stand in packages of their own, in this order: {@code accept}, {@code
 * route}, {@code place}, {@code relay}, {@code account}. What they need of the platform is in
 * {@code spi}.
 */
package org.limpetvale.forward;
