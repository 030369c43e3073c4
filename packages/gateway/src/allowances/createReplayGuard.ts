import type { HostId } from '@camphorbarrow/core';

/** Process incarnations of a host whose messages are told apart. */
const INCARNATIONS_PER_HOST = 3;

/** Recognizes messages that arrive twice, or after later ones. */
export interface ReplayGuard {
  /** Whether the message is the latest of the sender's current process so far. */
  accept(from: HostId, incarnation: string, sequence: number): boolean;
  retain(hosts: ReadonlySet<HostId>): void;
}

/** Creates a guard that knows the latest process of each host, and the ones before it. */
export function createReplayGuard(): ReplayGuard {
  const processes = new Map<
    HostId,
    { readonly incarnations: readonly string[]; readonly sequence: number }
  >();

  return {
    accept(from, incarnation, sequence) {
      const { incarnations, sequence: latest } = processes.get(from) ?? {
        incarnations: [],
        sequence: -1,
      };
      const isCurrent = incarnations[0] === incarnation;
      if (isCurrent ? sequence <= latest : incarnations.includes(incarnation)) {
        return false;
      }
      processes.set(from, {
        sequence,
        incarnations: isCurrent
          ? incarnations
          : [incarnation, ...incarnations].slice(0, INCARNATIONS_PER_HOST),
      });
      return true;
    },
    retain(hosts) {
      [...processes.keys()].filter((id) => !hosts.has(id)).forEach((id) => processes.delete(id));
    },
  };
}
