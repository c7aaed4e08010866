package org.limpetvale.daemon;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;

/**
 * URLs of the platform's services.
 *
 * @param tableUrl base URL of the table service
 * @param objectStoreUrl base URL of the object store
 * @param vmListUrl base URL of the VM list
 * @param powerUrl base URL of the interface that starts and stops upstreams
 * @param usageUrl base URL of the usage interface
 * @param timeoutMillis timeout of a call, in milliseconds
 */
public record PlatformSettings(
    @NotBlank String tableUrl,
    @NotBlank String objectStoreUrl,
    @NotBlank String vmListUrl,
    @NotBlank String powerUrl,
    @NotBlank String usageUrl,
    @Min(100) @Max(60_000) long timeoutMillis) {}
