use super::*;
use crate::lease::Lease;

fn open(lease: &Lease) -> std::net::UdpSocket {
    let socket = std::net::UdpSocket::bind(lease.peer()).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    socket
}

#[test]
fn delivered_datagrams_have_the_senders_relay_address_and_cut_paths_deliver_none() {
    let lease = Lease::acquire().unwrap();
    let sockets: Vec<_> = (0..3).map(|_| open(&lease)).collect();
    let listens: Vec<_> = sockets.iter().map(|e| e.local_addr().unwrap()).collect();
    let relay = DatagramRelay::start(&listens, lease.peer().ip(), 1).unwrap();
    let (to, mut buffer) = (relay.addresses().to_vec(), [0; 64]);
    sockets[0].send_to(b"one", to[1]).unwrap();
    assert_eq!(sockets[1].recv_from(&mut buffer).unwrap(), (3, to[0]));
    relay.set(Links { one_way: vec![(0, 1)], ..Links::default() });
    sockets[0].send_to(b"lost", to[1]).unwrap();
    sockets[1].send_to(b"back", to[0]).unwrap();
    assert_eq!(sockets[0].recv_from(&mut buffer).unwrap(), (4, to[1]), "the reverse direction is not cut");
    relay.set(Links { doubled: 1.0, ..Links::default() });
    sockets[0].send_to(b"twice", to[1]).unwrap();
    assert_eq!(
        sockets[1].recv_from(&mut buffer).unwrap(),
        (5, to[0]),
        "the datagram on the cut path was lost"
    );
    assert_eq!(sockets[1].recv_from(&mut buffer).unwrap(), (5, to[0]));
    relay.inject(2, 1, b"forged".to_vec());
    assert_eq!(sockets[1].recv_from(&mut buffer).unwrap(), (6, to[2]));
    assert_eq!(relay.sent(), [(3, 12), (1, 4), (0, 0)]);
    assert_eq!((relay.retained(0).len(), relay.longest(), relay.dropped()), (3, 5, 0));
}

#[test]
fn lossy_path_between_two_zones_leaves_other_paths_unaffected() {
    let poor = LossyPath::between([0, 2], 3, 6, 0.5, 40_000);
    assert_eq!((&poor[0].from[..], &poor[0].to[..]), (&[0, 3][..], &[2, 5][..]));
    let links = Links { poor, ..Links::default() };
    assert!(links.fully_connected() && !links.lossless(), "connected but lossy");
    let mut random = RandomStream::new(7, "poor");
    for (from, to) in (0..6).flat_map(|a| (0..6).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        let latencies: Vec<Option<u64>> = (0..400).map(|_| links.draw(&mut random, from, to)[0]).collect();
        let arrived: Vec<u64> = latencies.into_iter().flatten().collect();
        if [from % 3, to % 3] == [0, 2] || [from % 3, to % 3] == [2, 0] {
            assert!((140..260).contains(&arrived.len()), "{} of 400 datagrams arrived", arrived.len());
            assert!(arrived.iter().all(|way| (40_100..=42_000).contains(way)));
        } else {
            assert!(arrived.len() == 400 && arrived.iter().all(|way| *way <= 2000));
        }
    }
    let one = LossyPath { from: vec![1], loss: 1.0, ..LossyPath::default() };
    let links = Links { poor: vec![one], ..Links::default() };
    assert_eq!(links.draw(&mut random, 1, 0), [None, None]);
    assert!(links.draw(&mut random, 0, 1)[0].is_some(), "the reverse path has no loss");
}

#[test]
fn restricted_links_keep_only_paths_between_members() {
    let poor = vec![
        LossyPath { from: vec![0, 2], to: vec![3], loss: 0.5, more_us: 7 },
        LossyPath { from: vec![1], to: Vec::new(), loss: 0.5, more_us: 7 },
    ];
    let all = Links {
        groups: vec![0, 1, 0, 1],
        one_way: vec![(0, 2), (1, 2)],
        unheard: vec![1, 2],
        poor,
        loss: 0.1,
        ..Links::default()
    };
    let odd = all.restricted_to(&[1, 3]);
    assert_eq!((&odd.groups[..], &odd.one_way[..], &odd.unheard[..]), (&[1, 1][..], &[][..], &[0][..]));
    assert_eq!(odd.poor, [LossyPath { from: vec![0], to: Vec::new(), loss: 0.5, more_us: 7 }]);
    let even = all.restricted_to(&[0, 2]);
    assert_eq!((&even.one_way[..], &even.unheard[..], even.loss), (&[(0, 1)][..], &[1][..], 0.1));
    assert!(even.poor.is_empty(), "the other endpoint is not a member");
    assert_eq!(all.restricted_to(&[0, 1, 2, 3]), all);
}

#[test]
fn invalid_links_are_rejected_with_the_expected_value() {
    let good = Links { groups: vec![0, 1, 0], slow: vec![2], slow_us: 5000, ..Links::default() };
    assert_eq!(good.check(3), Ok(()));
    assert_eq!(good.check(4), Err(InvalidLinks { expected: "a group for each proxy" }));
    assert!(Links { unheard: vec![3], ..Links::default() }.check(3).is_err());
    assert!(Links { loss: 1.5, ..Links::default() }.check(3).is_err());
    assert!(Links { way_us: [3, 2], ..Links::default() }.check(3).is_err());
    let poor = |poor: LossyPath| Links { poor: vec![poor], ..Links::default() }.check(3);
    assert_eq!(poor(LossyPath { from: vec![0], to: vec![2], loss: 0.4, more_us: 9_000_000 }), Ok(()));
    assert_eq!(
        poor(LossyPath { to: vec![3], ..LossyPath::default() }),
        Err(InvalidLinks { expected: "indexes of existing proxies" })
    );
    assert_eq!(
        poor(LossyPath { loss: -0.1, ..LossyPath::default() }),
        Err(InvalidLinks { expected: "fractions from 0 to 1" })
    );
    assert_eq!(
        poor(LossyPath { more_us: u64::MAX, ..LossyPath::default() }),
        Err(InvalidLinks { expected: "a latency range of at most 10 s" })
    );
}
