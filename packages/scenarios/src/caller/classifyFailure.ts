import type { CallLabel } from '../history/CallLabel.js';

const CONNECT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);
const TIMEOUT_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Label of an attempt that threw an error. `unreachable` means that nothing was sent. */
export function classifyFailure(error: unknown): CallLabel {
  const { name, code, syscall } = error as { name?: string; code?: string; syscall?: string };
  if (syscall === 'connect' || CONNECT_CODES.has(code ?? '')) {
    return 'unreachable';
  }
  return name === 'TimeoutError' || TIMEOUT_CODES.has(code ?? '') ? 'timed-out' : 'broken';
}
