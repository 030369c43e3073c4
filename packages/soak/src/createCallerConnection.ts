import { once } from 'node:events';
import { connect } from 'node:net';

const HEAD_END = '\r\n\r\n';

export interface CallerResponse {
  /** Undefined when the connection ended without a response. */
  readonly status: number | undefined;
  readonly headers: ReadonlyMap<string, string>;
  /** Whether the response is complete. */
  readonly complete: boolean;
}

/** A connection on which a caller decides when each byte is sent. */
export interface CallerConnection {
  isOpen(): boolean;
  /** Hands text to the operating system. */
  write(text: string): void;
  /** Resolves with the response to the request that is being sent. */
  receive(): Promise<CallerResponse>;
  close(): void;
}

/** Index after the last chunk, or undefined if it has not arrived. */
function findChunksEnd(text: string, start: number): number | undefined {
  let at = start;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    at = lineEnd + 2 + size + 2;
    if (lineEnd < 0 || at > text.length) {
      return undefined;
    }
    if (size === 0) {
      return at;
    }
  }
}

function parseResponse(text: string): CallerResponse {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) {
    return { status: undefined, headers: new Map(), complete: false };
  }
  const [statusLine = '', ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers = new Map(
    lines.map((line) => {
      const [name = '', ...value] = line.split(':');
      return [name.toLowerCase(), value.join(':').trim()];
    }),
  );
  const start = headEnd + HEAD_END.length;
  const length = headers.get('content-length');
  const end =
    length === undefined ? findChunksEnd(text, start) : start + Number.parseInt(length, 10);
  return {
    status: Number(statusLine.split(' ')[1]),
    headers,
    complete: end !== undefined && text.length >= end,
  };
}

/** Opens a connection to a host; rejects when that fails. */
export async function createCallerConnection(url: string): Promise<CallerConnection> {
  const { hostname, port } = new URL(url);
  const socket = connect({ host: hostname, port: Number(port), noDelay: true });
  await once(socket, 'connect');
  let text = '';
  let isOpen = true;
  let onChange = (): void => undefined;
  const end = (): void => {
    isOpen = false;
    socket.destroy();
    onChange();
  };
  socket
    .on('data', (chunk) => {
      text += chunk.toString('latin1');
      onChange();
    })
    .on('error', end)
    .on('end', end)
    .on('close', end);
  return {
    isOpen: () => isOpen,
    write: (part) => socket.write(part),
    receive: () =>
      new Promise((resolve) => {
        onChange = () => {
          const response = parseResponse(text);
          if (response.complete || !isOpen) {
            onChange = () => undefined;
            text = '';
            resolve(response);
          }
        };
        onChange();
      }),
    close: end,
  };
}
