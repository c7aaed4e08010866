/** Command-line interface: runs the daemons and the operator commands. */
package org.limpetvale.cli;
