import { asId } from '@camphorbarrow/core';
import type { CrashReport, ServerId } from '@camphorbarrow/core';
import { InvalidMessageError } from '../errors/InvalidMessageError.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { HeartbeatEcho, HostState, PeerHeartbeat } from './PeerHeartbeat.js';

/** Version of the message format. Messages with another version are rejected. */
const MESSAGE_VERSION = 1;

/** `queueMs`, `msPerToken`, `msPerEvent`, `usableServers`, `slotUsageRatio`, `running`. */
type CapacityFigures = readonly [number, number, number, number, number, number];

interface WireHeartbeat {
  readonly v: number;
  readonly host: HostRegistration;
  readonly inc: string;
  readonly at: number;
  readonly echo?: HeartbeatEcho;
  readonly state: HostState;
  readonly rev: number;
  /** Server, running requests, pending prompt tokens by rank, and the pace if there is one. */
  readonly load: readonly (readonly [
    ServerId,
    number,
    readonly (readonly [number, number])[],
    number?,
  ])[];
  readonly cap: readonly (readonly [ServiceName, ...CapacityFigures])[];
  readonly crash: readonly CrashReport[];
}

const HOST_STATES: readonly string[] = ['starting', 'ready', 'draining', 'closing'];

function isWireHeartbeat(value: unknown): value is WireHeartbeat {
  const message = value as Partial<WireHeartbeat> | null;
  return (
    typeof message === 'object' &&
    message !== null &&
    message.v === MESSAGE_VERSION &&
    typeof message.host?.id === 'string' &&
    typeof message.host.region === 'string' &&
    typeof message.host.callers?.port === 'number' &&
    typeof message.host.peers?.port === 'number' &&
    typeof message.inc === 'string' &&
    typeof message.at === 'number' &&
    typeof message.rev === 'number' &&
    HOST_STATES.includes(message.state ?? '') &&
    Array.isArray(message.load) &&
    Array.isArray(message.cap) &&
    Array.isArray(message.crash)
  );
}

/** Creates an encoder for sending a heartbeat to several hosts, which differ only in the echo. */
export function createHeartbeatEncoder(
  heartbeat: Omit<PeerHeartbeat, 'echo'>,
): (echo: HeartbeatEcho | undefined) => Buffer {
  const message: WireHeartbeat = {
    v: MESSAGE_VERSION,
    host: heartbeat.host,
    inc: heartbeat.incarnation,
    at: heartbeat.sentAtMs,
    state: heartbeat.state,
    rev: heartbeat.revision,
    load: [...heartbeat.loads].map(([id, { running, pendingTokens }]) => {
      const pace = heartbeat.paces.get(id);
      return pace === undefined
        ? [id, running, [...pendingTokens]]
        : [id, running, [...pendingTokens], Math.round(pace)];
    }),
    cap: [...heartbeat.capacity].map(([service, capacity]) => [
      service,
      Math.round(capacity.queueMs),
      capacity.msPerToken,
      Math.round(capacity.msPerEvent),
      capacity.usableServers,
      Number(capacity.slotUsageRatio.toFixed(2)),
      capacity.running,
    ]),
    crash: heartbeat.crashes,
  };
  const common = JSON.stringify(message);
  return (echo) =>
    Buffer.from(
      echo === undefined ? common : `${common.slice(0, -1)},"echo":${JSON.stringify(echo)}}`,
    );
}

/** @throws InvalidMessageError if the datagram is not a valid heartbeat of this version */
export function decodeHeartbeat(datagram: Buffer): PeerHeartbeat {
  let message: unknown;
  try {
    message = JSON.parse(datagram.toString());
  } catch (error) {
    throw new InvalidMessageError('The heartbeat is not valid JSON.', { cause: error });
  }
  if (!isWireHeartbeat(message)) {
    throw new InvalidMessageError('The heartbeat has missing or malformed fields.');
  }
  return {
    host: { ...message.host, id: asId(message.host.id) },
    incarnation: message.inc,
    sentAtMs: message.at,
    echo: message.echo,
    state: message.state,
    revision: message.rev,
    loads: new Map(
      message.load.map(([id, running, pendingTokens]) => [
        id,
        { running, pendingTokens: new Map(pendingTokens) },
      ]),
    ),
    paces: new Map(
      message.load.flatMap(([id, , , pace]) => (pace === undefined ? [] : [[id, pace] as const])),
    ),
    capacity: new Map(
      message.cap.map(([service, ...figures]) => {
        const [queueMs, msPerToken, msPerEvent, usableServers, slotUsageRatio, running] = figures;
        return [
          service,
          { queueMs, msPerToken, msPerEvent, usableServers, slotUsageRatio, running },
        ];
      }),
    ),
    crashes: message.crash,
  };
}
