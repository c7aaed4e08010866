package org.limpetvale.daemon;

import jakarta.validation.constraints.NotBlank;

/**
 * Identity of a process: its VM and availability zone.
 *
 * @param vm name of its VM
 * @param zone availability zone of its VM
 */
public record Identity(@NotBlank String vm, @NotBlank String zone) {}
