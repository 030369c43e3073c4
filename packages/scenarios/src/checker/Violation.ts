/** A place at which a history breaks a rule. */
export interface Violation {
  readonly rule: string;
  readonly message: string;
}
