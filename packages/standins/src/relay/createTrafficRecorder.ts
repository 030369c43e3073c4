import type { RelayEndpoint } from './RelayOptions.js';
import { markerEncodings } from './markerEncodings.js';

/** Bytes that one process sent to another. */
export interface LinkTraffic {
  readonly from: RelayEndpoint;
  readonly to: RelayEndpoint;
  readonly bytes: number;
  readonly connections: number;
}

export interface MarkerSighting {
  readonly from: RelayEndpoint;
  readonly to: RelayEndpoint;
}

export interface TrafficRecorder {
  /** Opens the record of one direction of a connection; the returned function adds bytes. */
  startRecording(from: RelayEndpoint, to: RelayEndpoint): (chunk: Buffer) => void;
  links(): readonly LinkTraffic[];
  /** Links on which the text was sent, as it is or in base64. */
  search(marker: string): readonly MarkerSighting[];
  /** Whether bytes were dropped because the record is full; a search then proves nothing. */
  truncated(): boolean;
}

interface Recorded {
  readonly from: RelayEndpoint;
  readonly to: RelayEndpoint;
  readonly chunks: Buffer[];
  bytes: number;
}

const MAX_RECORDED_BYTES = 268_435_456;

/** Records all bytes that processes send, including those that a cut keeps from arriving. */
export function createTrafficRecorder(maxBytes = MAX_RECORDED_BYTES): TrafficRecorder {
  const recorded: Recorded[] = [];
  let totalBytes = 0;
  let truncated = false;

  function linkKey({ from, to }: Recorded): string {
    return `${from.name} ${to.name}`;
  }

  return {
    startRecording(from, to) {
      const record: Recorded = { from, to, chunks: [], bytes: 0 };
      recorded.push(record);
      return (chunk) => {
        record.bytes += chunk.length;
        totalBytes += chunk.length;
        if (totalBytes > maxBytes) {
          truncated = true;
        } else {
          record.chunks.push(chunk);
        }
      };
    },
    links() {
      const links = new Map<string, { -readonly [Key in keyof LinkTraffic]: LinkTraffic[Key] }>();
      const used = recorded.filter(({ bytes }) => bytes > 0);
      used.forEach((record) => {
        const { from, to, bytes } = record;
        const link = links.get(linkKey(record)) ?? { from, to, bytes: 0, connections: 0 };
        link.bytes += bytes;
        link.connections += 1;
        links.set(linkKey(record), link);
      });
      return [...links.values()];
    },
    search(marker) {
      const forms = markerEncodings(marker);
      const sightings = new Map<string, MarkerSighting>();
      recorded.forEach((record) => {
        const bytes = Buffer.concat(record.chunks);
        if (forms.some((form) => bytes.includes(form))) {
          sightings.set(linkKey(record), { from: record.from, to: record.to });
        }
      });
      return [...sightings.values()];
    },
    truncated: () => truncated,
  };
}
