import type { RelayEndpoint } from './RelayOptions.js';
import { markerEncodings } from './markerEncodings.js';

/** Traffic that one process sent to another. */
export interface LinkTraffic {
  readonly from: RelayEndpoint;
  readonly to: RelayEndpoint;
  readonly bytes: number;
  readonly connections: number;
}

/** A link on which a marker was sent. */
export interface MarkerSighting {
  readonly from: RelayEndpoint;
  readonly to: RelayEndpoint;
}

export interface TrafficRecorder {
  /** Starts recording one direction of a connection; the returned function adds bytes. */
  startRecording(from: RelayEndpoint, to: RelayEndpoint): (chunk: Buffer) => void;
  links(): readonly LinkTraffic[];
  /** Links on which the text was sent, as plain text or in base64. */
  search(marker: string): readonly MarkerSighting[];
  /** Whether bytes were dropped because the limit was reached, so that a search may miss them. */
  truncated(): boolean;
}

interface Recording {
  readonly from: RelayEndpoint;
  readonly to: RelayEndpoint;
  readonly chunks: Buffer[];
  bytes: number;
}

const MAX_RECORDED_BYTES = 268_435_456;

/** Creates a recorder of all bytes that processes send, including those that a cut holds back. */
export function createTrafficRecorder(maxBytes = MAX_RECORDED_BYTES): TrafficRecorder {
  const recordings: Recording[] = [];
  let totalBytes = 0;
  let truncated = false;

  function linkKey({ from, to }: Recording): string {
    return `${from.name} ${to.name}`;
  }

  return {
    startRecording(from, to) {
      const recording: Recording = { from, to, chunks: [], bytes: 0 };
      recordings.push(recording);
      return (chunk) => {
        recording.bytes += chunk.length;
        totalBytes += chunk.length;
        if (totalBytes > maxBytes) {
          truncated = true;
        } else {
          recording.chunks.push(chunk);
        }
      };
    },
    links() {
      const links = new Map<string, { -readonly [Key in keyof LinkTraffic]: LinkTraffic[Key] }>();
      const used = recordings.filter(({ bytes }) => bytes > 0);
      used.forEach((recording) => {
        const { from, to, bytes } = recording;
        const link = links.get(linkKey(recording)) ?? { from, to, bytes: 0, connections: 0 };
        link.bytes += bytes;
        link.connections += 1;
        links.set(linkKey(recording), link);
      });
      return [...links.values()];
    },
    search(marker) {
      const encodings = markerEncodings(marker);
      const sightings = new Map<string, MarkerSighting>();
      recordings.forEach((recording) => {
        const bytes = Buffer.concat(recording.chunks);
        if (encodings.some((encoding) => bytes.includes(encoding))) {
          sightings.set(linkKey(recording), { from: recording.from, to: recording.to });
        }
      });
      return [...sightings.values()];
    },
    truncated: () => truncated,
  };
}
