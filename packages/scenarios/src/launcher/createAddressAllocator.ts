import { randomInt } from 'node:crypto';

export interface SocketAddress {
  readonly address: string;
  readonly port: number;
}

export type ListenerRole = 'platform' | 'server' | 'caller' | 'peer';

export interface AddressAllocator {
  /** Address of a further process. */
  nextProcessAddress(): string;
  /** Address from which a further group of callers opens connections. */
  nextCallerAddress(): string;
  port(role: ListenerRole): number;
  /** Address at which the relay stands for a process. */
  announcedAddressOf(address: string): string;
}

/** Ports below the range from which Linux takes the ports of outgoing connections. */
const MIN_PORT = 10_000;
const MAX_PORT = 30_000;
const ROLES: readonly ListenerRole[] = ['platform', 'server', 'caller', 'peer'];
const MAX_SUBNET = 252;

/** Chooses loopback addresses and ports that other runs on the machine are unlikely to use. */
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
