/** The command line: the daemons and the operators' commands. */
package org.limpetvale.cli;
