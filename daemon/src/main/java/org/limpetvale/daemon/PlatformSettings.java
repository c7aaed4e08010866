package org.limpetvale.daemon;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;

/**
 * Addresses of the platform's services.
 *
 * @param tableUrl table service
 * @param objectStoreUrl object store
 * @param vmListUrl VM list
 * @param powerUrl start and stop interface
 * @param usageUrl usage interface
 * @param timeoutMillis time limit of an answer, in milliseconds
 */
public record PlatformSettings(
    @NotBlank String tableUrl,
    @NotBlank String objectStoreUrl,
    @NotBlank String vmListUrl,
    @NotBlank String powerUrl,
    @NotBlank String usageUrl,
    @Min(100) @Max(60_000) long timeoutMillis) {}
