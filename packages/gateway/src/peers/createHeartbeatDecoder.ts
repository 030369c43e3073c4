import { LRUCache } from 'lru-cache';
import { isStoreRevision } from '../model/isStoreRevision.js';
import { decodeHeartbeat } from './heartbeatCodec.js';
import type { HeartbeatEcho, PeerHeartbeat } from './PeerHeartbeat.js';

/** Senders whose latest heartbeat is kept; further ones are decoded in full. */
const MAX_SENDERS = 1_024;

/** Start of the fields that are new in each heartbeat. */
const PROGRESS_START = ',"at":';
/** These fields as this build encodes them; in any other form, the whole heartbeat is decoded. */
const PROGRESS =
  /^,"at":(\d+(?:\.\d+)?),"rev":(\d+)(?:,"era":(\d+))?(?:,"echo":\{"sentAtMs":(\d+(?:\.\d+)?),"heldMs":(\d+(?:\.\d+)?)\})?\}$/;

type Progress = Pick<PeerHeartbeat, 'sentAtMs' | 'storePosition' | 'echo'>;

interface LatestHeartbeat {
  /** Bytes before the fields that are new in each heartbeat. */
  readonly head: Buffer;
  readonly heartbeat: PeerHeartbeat;
}

/**
 * Decodes the heartbeat of a sender; the sender may be any text that differs between senders.
 *
 * @throws InvalidMessageError if the datagram is not a valid heartbeat of this version
 */
export type DecodeHeartbeat = (datagram: Buffer, sender: string) => PeerHeartbeat;

function parseEcho(
  sentAtMs: string | undefined,
  heldMs: string | undefined,
): HeartbeatEcho | undefined {
  return sentAtMs === undefined || heldMs === undefined
    ? undefined
    : { sentAtMs: Number(sentAtMs), heldMs: Number(heldMs) };
}

function parseProgress(text: string): Progress | undefined {
  const [, at, rev, era = '0', echoSentAtMs, echoHeldMs] = PROGRESS.exec(text) ?? [];
  const storePosition = { era: Number(era), revision: Number(rev) };
  return isStoreRevision(storePosition.era) && isStoreRevision(storePosition.revision)
    ? { sentAtMs: Number(at), storePosition, echo: parseEcho(echoSentAtMs, echoHeldMs) }
    : undefined;
}

/**
 * Creates a decoder that parses and checks only the fields that are new in each heartbeat if the
 * bytes before them are the same as in the sender's previous one. Hosts at rest differ only in these.
 */
export function createHeartbeatDecoder(): DecodeHeartbeat {
  const latest = new LRUCache<string, LatestHeartbeat>({ max: MAX_SENDERS });

  return (datagram, sender) => {
    const headBytes = datagram.lastIndexOf(PROGRESS_START);
    const head = datagram.subarray(0, Math.max(0, headBytes));
    const known = latest.get(sender);
    if (known?.head.equals(head) === true) {
      const progress = parseProgress(datagram.toString('latin1', headBytes));
      if (progress !== undefined) {
        return { ...known.heartbeat, ...progress };
      }
    }
    const heartbeat = decodeHeartbeat(datagram);
    latest.set(sender, { head, heartbeat });
    return heartbeat;
  };
}
