/** Templates, workspace parameters, keys and the versioned state made of them. */
package org.limpetvale.core.config;
