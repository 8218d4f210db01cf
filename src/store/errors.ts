import ModernError from 'modern-errors';

/** Base of the errors of the platform client. */
export const PlatformError = ModernError.subclass('PlatformError');

/** The call had no effect: the platform refused it or could not be reached. */
export const UnavailableError = PlatformError.subclass('UnavailableError');

/** A write may have taken effect: its answer was lost. */
export const AnswerLostError = PlatformError.subclass('AnswerLostError');
