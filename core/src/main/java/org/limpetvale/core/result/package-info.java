/** Numbered result codes and sealed results. */
package org.limpetvale.core.result;
