import { headerNames } from '@camphorbarrow/core';

/** Text of a response of a server or of an entry host. */
export function toResponse(body: string): string {
  const headers = [
    'content-type: application/json',
    `${headerNames.servedBy}: peer`,
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  return `HTTP/1.1 200 OK\r\n${headers.join('\r\n')}\r\n\r\n${body}`;
}
