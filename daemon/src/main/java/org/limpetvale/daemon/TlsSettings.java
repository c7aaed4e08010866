package org.limpetvale.daemon;

import jakarta.validation.constraints.NotBlank;

/**
 * PEM files for mutual TLS. The process reloads them periodically.
 *
 * @param certificateFile certificate chain of this process
 * @param keyFile private key of this process
 * @param authorityFile CA certificates that peer certificates must be signed by
 */
public record TlsSettings(
    @NotBlank String certificateFile, @NotBlank String keyFile, @NotBlank String authorityFile) {}
