import {PlatformError} from './errors.js';

/** A watch asked for a revision that the platform no longer knows: list again. */
export const RevisionGoneError = PlatformError.subclass('RevisionGoneError');
