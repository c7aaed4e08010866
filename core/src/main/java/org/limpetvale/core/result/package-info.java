/** Numbered result codes and the sealed result type. */
package org.limpetvale.core.result;
