//! Parses the Prometheus text format of an instance's `/metrics`.

/// A label of a sample.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Label {
    /// Label name.
    pub name: String,
    /// Label value, unescaped.
    pub value: String,
}

/// A sample, which is one line of a scrape.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Metric name.
    pub name: String,
    /// Labels in the order of the line.
    pub labels: Vec<Label>,
    /// Sample value.
    pub value: f64,
}

impl Sample {
    /// Value of a label, or an empty string if the sample lacks it.
    pub fn label(&self, name: &str) -> &str {
        let label = self.labels.iter().find(|l| l.name == name);
        label.map_or("", |l| l.value.as_str())
    }
}

/// Parses a scrape; comments and invalid lines are skipped.
pub fn parse(text: &str) -> Vec<Sample> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines.filter_map(parse_line).collect()
}

/// Iterates over the samples of one metric.
pub fn named<'a>(samples: &'a [Sample], name: &'a str) -> impl Iterator<Item = &'a Sample> {
    samples.iter().filter(move |s| s.name == name)
}

fn parse_line(line: &str) -> Option<Sample> {
    let (series, value) = line.trim().rsplit_once(' ')?;
    let (name, labels) = match series.split_once('{') {
        None => (series, Vec::new()),
        Some((name, rest)) => (name, parse_labels(rest.strip_suffix('}')?)?),
    };
    Some(Sample {
        name: name.to_owned(),
        labels,
        value: value.parse().ok()?,
    })
}

fn parse_labels(mut text: &str) -> Option<Vec<Label>> {
    let mut labels = Vec::new();
    while !text.is_empty() {
        let (name, rest) = text.split_once("=\"")?;
        let (value, rest) = parse_quoted(rest)?;
        labels.push(Label {
            name: name.trim_start_matches(',').to_owned(),
            value,
        });
        text = rest;
    }
    Some(labels)
}

// Reads an escaped label value up to its closing quote and returns it with the rest of the text.
// Names of organisations and tiers can contain quotes.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((i, c)) = chars.next() {
        match c {
            '"' => return Some((value, &text[i + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                other => value.push(other),
            },
            other => value.push(other),
        }
    }
    None
}
