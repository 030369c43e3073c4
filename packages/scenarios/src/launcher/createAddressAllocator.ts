import { randomInt } from 'node:crypto';

export interface SocketAddress {
  readonly address: string;
  readonly port: number;
}

export type ListenerRole = 'platform' | 'server' | 'caller' | 'peer';

export interface AddressAllocator {
  /** Allocates the address of a process. */
  nextProcessAddress(): string;
  /** Allocates an address from which a group of callers opens connections. */
  nextCallerAddress(): string;
  port(role: ListenerRole): number;
  /** Address on which the relay listens for a process. */
  announcedAddressOf(address: string): string;
}

/** Ports below the range that Linux uses for outgoing connections. */
const MIN_PORT = 10_000;
const MAX_PORT = 30_000;
const ROLES: readonly ListenerRole[] = ['platform', 'server', 'caller', 'peer'];
/** Leaves two more subnets, for the announced addresses and for the callers. */
const MAX_SUBNET = 252;

/** Allocates loopback addresses and ports that other runs on the machine are unlikely to use. */
export function createAddressAllocator(): AddressAllocator {
  const network = `127.${randomInt(10, 250)}`;
  const subnet = randomInt(0, MAX_SUBNET);
  const firstPort = randomInt(MIN_PORT, MAX_PORT);
  let processes = 0;
  let callers = 0;
  return {
    nextProcessAddress() {
      processes += 1;
      return `${network}.${subnet}.${processes}`;
    },
    nextCallerAddress() {
      callers += 1;
      return `${network}.${subnet + 2}.${callers}`;
    },
    port: (role) => firstPort + ROLES.indexOf(role),
    announcedAddressOf: (address) => `${network}.${subnet + 1}.${address.split('.').at(-1)}`,
  };
}
