/** Identifies one revision of the configuration document. */
export interface ConfigRevision {
  readonly version: number;
  readonly changeId: string;
}
