/** Options of an undici dispatcher that opens its connections from a local IP address. */
export function localAddressOptions(localAddress: string | undefined): { localAddress?: string } {
  return localAddress === undefined ? {} : { localAddress };
}
