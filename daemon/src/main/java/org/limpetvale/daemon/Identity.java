package org.limpetvale.daemon;

import jakarta.validation.constraints.NotBlank;

/**
 * Who a process is.
 *
 * @param vm name of its VM
 * @param zone availability zone of its VM
 */
public record Identity(@NotBlank String vm, @NotBlank String zone) {}
