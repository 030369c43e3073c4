/** IP address and TCP port. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}
