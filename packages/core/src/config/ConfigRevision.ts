/** Identity of one configuration document. */
export interface ConfigRevision {
  readonly version: number;
  readonly changeId: string;
}
