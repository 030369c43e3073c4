/** Options of an undici dispatcher that opens its connections from a local IP address. */
export function outgoingFrom(localAddress: string | undefined): { localAddress?: string } {
  return localAddress === undefined ? {} : { localAddress };
}
