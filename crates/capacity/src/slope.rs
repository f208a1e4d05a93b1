//! A cost measured at several sizes, and the straight line through it.

/// A cost measured at three or more sizes.
#[derive(Clone, Debug)]
pub struct Slope {
    /// What was measured.
    pub name: String,
    /// What a size counts.
    pub per: &'static str,
    /// What a cost counts.
    pub unit: &'static str,
    points: Vec<Point>,
}

#[derive(Clone, Copy, Debug)]
struct Point {
    cost: f64,
    size: f64,
}

impl Slope {
    /// Measures `cost` at each size.
    pub fn measure(
        name: &str,
        unit: &'static str,
        per: &'static str,
        sizes: &[usize],
        mut cost: impl FnMut(usize) -> f64,
    ) -> Self {
        let points = sizes.iter().map(|&size| Point { cost: cost(size), size: size as f64 });
        Self { name: name.into(), per, points: points.collect(), unit }
    }

    /// Returns the cost of one more, by least squares.
    pub fn each(&self) -> f64 {
        let count = self.points.len() as f64;
        let mean_size = self.points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_cost = self.points.iter().map(|p| p.cost).sum::<f64>() / count;
        let product = |p: &Point| (p.size - mean_size) * (p.cost - mean_cost);
        let square = |p: &Point| (p.size - mean_size).powi(2);
        self.points.iter().map(product).sum::<f64>() / self.points.iter().map(square).sum::<f64>()
    }

    /// Returns the cost at size zero, by least squares.
    pub fn fixed(&self) -> f64 {
        let count = self.points.len() as f64;
        let mean_size = self.points.iter().map(|p| p.size).sum::<f64>() / count;
        let mean_cost = self.points.iter().map(|p| p.cost).sum::<f64>() / count;
        mean_cost - self.each() * mean_size
    }

    /// Prints the points and the line as a row of a Markdown table.
    pub fn print(&self) {
        let points: Vec<String> =
            self.points.iter().map(|p| format!("{}: {:.1}", p.size, p.cost)).collect();
        println!(
            "| {} | {} | {:.1} {} + {:.3} {} per {} |",
            self.name,
            points.join(", "),
            self.fixed(),
            self.unit,
            self.each(),
            self.unit,
            self.per
        );
    }
}
