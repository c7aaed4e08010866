package org.limpetvale.daemon;

import jakarta.validation.constraints.NotBlank;

/**
 * Certificates of a process, in PEM; the files are read again while the process runs.
 *
 * @param certificateFile certificate chain of this process
 * @param keyFile private key of this process
 * @param authorityFile certificates of the authorities that peers must be signed by
 */
public record TlsSettings(
    @NotBlank String certificateFile, @NotBlank String keyFile, @NotBlank String authorityFile) {}
