/** A violation of a rule in a history. */
export interface Violation {
  readonly rule: string;
  readonly message: string;
}
