//! How far below its target the contention of a serving task is kept. Answers this load: serving tasks near
//! their peak beside filling images of which a few are very harmful. Whatever the margin, a small part of a
//! filling task's work is lost with it; what it spares the serving tasks grows with the harm that the image
//! does for the same work, since the forecast of a load is off by some hundredths.

/// Margin for an image of the reference level.
const REFERENCE_MARGIN: f64 = 0.043;
/// The level of a pair of images that does little harm.
const REFERENCE_LEVEL: f64 = 0.15;
/// How much the margin grows with the logarithm of the level.
const MARGIN_PER_LOG_LEVEL: f64 = 0.012;

/// Returns the margin in contention for a filling image that adds `level` at a whole worker.
pub(crate) fn for_level(level: f64) -> f64 {
    let harm = (level / REFERENCE_LEVEL).max(f64::MIN_POSITIVE).ln();
    (REFERENCE_MARGIN + MARGIN_PER_LOG_LEVEL * harm).max(0.0)
}
