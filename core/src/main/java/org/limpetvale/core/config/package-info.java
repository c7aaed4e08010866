/** Versioned configuration: templates, workspace parameters, key grants and their validation. */
package org.limpetvale.core.config;
