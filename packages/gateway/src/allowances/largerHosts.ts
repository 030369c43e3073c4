import type { HostRegistration } from '../model/HostRegistration.js';

/**
 * The half of the hosts with the most cores, and all that have as many: their event loops answer
 * sooner. Hosts that do not tell their cores come last.
 */
export function largerHosts(hosts: readonly HostRegistration[]): readonly HostRegistration[] {
  const coresOf = ({ cores }: HostRegistration): number => cores ?? 0;
  const sorted = hosts.map(coresOf).sort((a, b) => b - a);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return hosts.filter((host) => coresOf(host) >= median);
}
