import type { IncomingMessage } from 'node:http';

export function firstHeaderValue(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
