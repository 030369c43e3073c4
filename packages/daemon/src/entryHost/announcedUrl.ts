import type { HostSettings } from '@camphorbarrow/core';

/** Base URL under which a listener is announced to callers or peers. */
export function announcedUrl(listener: HostSettings['callerListener']): string {
  const { address, port } = listener.announce ?? listener;
  return `http://${address.includes(':') ? `[${address}]` : address}:${port}`;
}
