import {
  AttemptBrokenError,
  ConnectFailedError,
  PlatformError,
  ProgressTimeoutError,
} from '@camphorbarrow/core';

const CONNECT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const TIMEOUT_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

function codeOf(cause: unknown): string {
  return cause instanceof Error && 'code' in cause ? String(cause.code) : '';
}

/** Maps an error of the HTTP client to the failure types of the ports. */
export function classifyHttpError(cause: unknown): Error {
  if (cause instanceof PlatformError) {
    return cause;
  }
  const code = codeOf(cause);
  if (CONNECT_CODES.has(code)) {
    const refused = code === 'ECONNREFUSED';
    return new ConnectFailedError('The connection could not be established.', {
      cause,
      props: { refused },
    });
  }
  if (TIMEOUT_CODES.has(code)) {
    return new ProgressTimeoutError('No response arrived in time.', { cause });
  }
  if (cause instanceof Error && cause.name === 'TimeoutError') {
    return new ProgressTimeoutError('No response arrived in time.', { cause });
  }
  const crashSuspected = code === 'UND_ERR_SOCKET' || code === 'ECONNRESET' || code === 'EPIPE';
  return new AttemptBrokenError('The connection broke.', { cause, props: { crashSuspected } });
}
